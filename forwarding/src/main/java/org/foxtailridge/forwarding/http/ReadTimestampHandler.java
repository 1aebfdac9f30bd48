package org.foxtailridge.forwarding.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.time.Clock;

/** Channel handler that records when bytes of a caller arrive, before they are decoded. */
final class ReadTimestampHandler extends ChannelInboundHandlerAdapter {
    private final CallerConnection mConnection;
    private final Clock mClock;

    ReadTimestampHandler(CallerConnection connection, Clock clock) {
        mConnection = connection;
        mClock = clock;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        mConnection.bytesArrived(mClock.millis());
        context.fireChannelRead(message);
    }
}
