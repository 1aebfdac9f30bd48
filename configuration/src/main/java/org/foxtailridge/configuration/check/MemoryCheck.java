package org.foxtailridge.configuration.check;

import com.google.common.math.LongMath;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.foxtailridge.configuration.model.Adapter;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.Endpoint;
import org.foxtailridge.configuration.model.EndpointKind;
import org.foxtailridge.configuration.model.Model;

/**
 * The engines that are not leaving can hold one copy of every model.
 *
 * <p>A copy takes the weights, the working memory and the largest of the model's adapters. Models
 * are placed largest first on the engine of their pools with the least room that suffices. While no
 * engine is listed at all, nothing is checked, so that models may be listed before their engines.
 */
final class MemoryCheck implements ConfigurationCheck {
    @Override
    public void check(Configuration configuration, ProblemSink problems) {
        if (configuration.all(Endpoint.class).stream().noneMatch(MemoryCheck::isEngine)) {
            return;
        }
        List<Room> rooms = rooms(configuration);
        Map<String, Long> largestAdapters = largestAdapters(configuration);
        List<Need> needs = new ArrayList<>();
        for (Model model : configuration.all(Model.class)) {
            needs.add(new Need(model, largestAdapters.getOrDefault(model.name(), 0L)));
        }
        needs.sort(Need.LARGEST_FIRST);
        for (Need need : needs) {
            place(need, rooms, problems);
        }
    }

    private static void place(Need need, List<Room> rooms, ProblemSink problems) {
        Room best = null;
        int suitable = 0;
        long largestFree = 0;
        for (Room room : rooms) {
            if (!need.allows(room.mEndpoint)) {
                continue;
            }
            suitable++;
            largestFree = Math.max(largestFree, room.mFreeBytes);
            if (room.mFreeBytes >= need.bytes() && (best == null || room.isTighterThan(best))) {
                best = room;
            }
        }
        if (best != null) {
            best.mFreeBytes -= need.bytes();
        } else if (suitable == 0) {
            String message =
                    "expected a pool with engines that are not leaving but was "
                            + need.mModel.pools();
            problems.add(ProblemKind.NO_POOL, need.mModel, "pools", message);
        } else {
            problems.add(
                    ProblemKind.MEMORY_SHORT,
                    need.mModel,
                    "weights_bytes",
                    need.arithmetic(suitable, largestFree));
        }
    }

    private static List<Room> rooms(Configuration configuration) {
        List<Room> rooms = new ArrayList<>();
        for (Endpoint endpoint : configuration.all(Endpoint.class)) {
            if (isEngine(endpoint) && !endpoint.leaving()) {
                rooms.add(new Room(endpoint));
            }
        }
        return rooms;
    }

    private static boolean isEngine(Endpoint endpoint) {
        return endpoint.kind() == EndpointKind.ENGINE;
    }

    private static Map<String, Long> largestAdapters(Configuration configuration) {
        Map<String, Long> largest = new HashMap<>();
        for (Adapter adapter : configuration.all(Adapter.class)) {
            largest.merge(adapter.model(), adapter.bytes(), Math::max);
        }
        return largest;
    }

    private static final class Room {
        private final Endpoint mEndpoint;
        private long mFreeBytes;

        private Room(Endpoint endpoint) {
            mEndpoint = endpoint;
            mFreeBytes = endpoint.memoryBytes();
        }

        private boolean isTighterThan(Room other) {
            return mFreeBytes < other.mFreeBytes;
        }
    }

    private static final class Need {
        private static final Comparator<Need> LARGEST_FIRST =
                Comparator.comparingLong(Need::bytes)
                        .reversed()
                        .thenComparing(need -> need.mModel.name());

        private final Model mModel;
        private final long mAdapterBytes;

        private Need(Model model, long adapterBytes) {
            mModel = model;
            mAdapterBytes = adapterBytes;
        }

        private long bytes() {
            long model = LongMath.saturatedAdd(mModel.weightsBytes(), mModel.workingBytes());
            return LongMath.saturatedAdd(model, mAdapterBytes);
        }

        private boolean allows(Endpoint endpoint) {
            return mModel.pools().isEmpty() || mModel.pools().contains(endpoint.pool());
        }

        private String arithmetic(int suitable, long largestFree) {
            return "expected room for "
                    + mModel.weightsBytes()
                    + " weights + "
                    + mModel.workingBytes()
                    + " working + "
                    + mAdapterBytes
                    + " adapter = "
                    + bytes()
                    + " bytes but the most that any of "
                    + suitable
                    + " engines has left beside larger models is "
                    + largestFree;
        }
    }
}
