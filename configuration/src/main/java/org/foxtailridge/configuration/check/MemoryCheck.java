package org.foxtailridge.configuration.check;

import com.google.common.collect.ListMultimap;
import com.google.common.collect.MultimapBuilder;
import com.google.common.math.LongMath;
import java.util.ArrayList;
import java.util.Collection;
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
        ListMultimap<String, Room> roomsByPool = roomsByPool(configuration);
        Map<String, Long> largestAdapters = largestAdapters(configuration);
        List<Need> needs = new ArrayList<>();
        for (Model model : configuration.all(Model.class)) {
            needs.add(new Need(model, largestAdapters.getOrDefault(model.name(), 0L)));
        }
        needs.sort(Need.LARGEST_FIRST);
        for (Need need : needs) {
            place(need, need.rooms(roomsByPool), problems);
        }
    }

    private static void place(Need need, Collection<Room> rooms, ProblemSink problems) {
        Room best = null;
        long largestFree = 0;
        for (Room room : rooms) {
            largestFree = Math.max(largestFree, room.mFreeBytes);
            if (room.mFreeBytes >= need.bytes() && (best == null || room.isTighterThan(best))) {
                best = room;
            }
        }
        if (best != null) {
            best.mFreeBytes -= need.bytes();
        } else if (rooms.isEmpty()) {
            String message =
                    "expected a pool with engines that are not leaving but was "
                            + need.mModel.pools();
            problems.add(ProblemKind.NO_POOL, need.mModel, "pools", message);
        } else {
            problems.add(
                    ProblemKind.MEMORY_SHORT,
                    need.mModel,
                    "weights_bytes",
                    need.arithmetic(rooms.size(), largestFree));
        }
    }

    private static ListMultimap<String, Room> roomsByPool(Configuration configuration) {
        ListMultimap<String, Room> rooms = MultimapBuilder.treeKeys().arrayListValues().build();
        for (Endpoint endpoint : configuration.all(Endpoint.class)) {
            if (isEngine(endpoint) && !endpoint.leaving()) {
                rooms.put(endpoint.pool(), new Room(endpoint.memoryBytes()));
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
        private long mFreeBytes;

        private Room(long freeBytes) {
            mFreeBytes = freeBytes;
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

        private Collection<Room> rooms(ListMultimap<String, Room> roomsByPool) {
            if (mModel.pools().isEmpty()) {
                return roomsByPool.values();
            }
            if (mModel.pools().size() == 1) {
                return roomsByPool.get(mModel.pools().get(0));
            }
            List<Room> rooms = new ArrayList<>();
            mModel.pools().stream().distinct().forEach(pool -> rooms.addAll(roomsByPool.get(pool)));
            return rooms;
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
