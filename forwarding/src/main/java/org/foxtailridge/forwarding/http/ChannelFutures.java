package org.foxtailridge.forwarding.http;

import io.netty.channel.ChannelFuture;
import java.util.concurrent.CompletableFuture;

/** Conversion of Netty's futures. */
public final class ChannelFutures {
    private ChannelFutures() {}

    /** Returns a future that completes, or fails, on the event loop of the channel. */
    public static CompletableFuture<Void> toCompletable(ChannelFuture future) {
        CompletableFuture<Void> completable = new CompletableFuture<>();
        future.addListener(
                done -> {
                    if (done.isSuccess()) {
                        completable.complete(null);
                    } else {
                        completable.completeExceptionally(done.cause());
                    }
                });
        return completable;
    }
}
