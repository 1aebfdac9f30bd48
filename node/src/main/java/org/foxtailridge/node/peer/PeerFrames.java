package org.foxtailridge.node.peer;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;

/** Frames of the inner protocol: a length of four bytes, then the message. */
final class PeerFrames {
    private static final int LENGTH_BYTES = 4;
    private static final int MAXIMUM_FRAME_BYTES = 4 * 1024 * 1024;

    private PeerFrames() {}

    /** Adds the codec of frames; a frame above 4 MiB closes the connection. */
    static void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(
                        MAXIMUM_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
    }
}
