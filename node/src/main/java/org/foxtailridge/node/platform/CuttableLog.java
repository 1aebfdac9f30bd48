package org.foxtailridge.node.platform;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.foxtailridge.clients.log.AppendRefusedException;
import org.foxtailridge.clients.log.AppendUnresolvedException;
import org.foxtailridge.clients.log.LogPage;
import org.foxtailridge.clients.log.LogService;
import org.foxtailridge.clients.log.LogUnavailableException;

/** The log service behind a switch that cuts it off. */
public final class CuttableLog implements LogService {
    private static final String CUT = "cut off";

    private final LogService mLog;
    private final PlatformCut mCut;

    /** Puts the switch before a log service. */
    public CuttableLog(LogService log, PlatformCut cut) {
        mLog = log;
        mCut = cut;
    }

    @Override
    public CompletableFuture<Long> append(String stream, List<String> payloads) {
        if (mCut.isCut()) {
            return CompletableFuture.failedFuture(new AppendRefusedException(stream, CUT));
        }
        return mLog.append(stream, payloads)
                .thenApply(
                        offset -> {
                            if (mCut.isCut()) {
                                throw new AppendUnresolvedException(
                                        stream, new IllegalStateException(CUT));
                            }
                            return offset;
                        });
    }

    @Override
    public CompletableFuture<LogPage> read(String stream, long from, int limit, Duration wait) {
        if (mCut.isCut()) {
            return CompletableFuture.failedFuture(new LogUnavailableException(stream, CUT));
        }
        return mLog.read(stream, from, limit, wait)
                .thenApply(
                        page -> {
                            if (mCut.isCut()) {
                                throw new LogUnavailableException(stream, CUT);
                            }
                            return page;
                        });
    }
}
