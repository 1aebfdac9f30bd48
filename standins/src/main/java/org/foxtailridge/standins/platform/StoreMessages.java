package org.foxtailridge.standins.platform;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/** Bodies of the store's calls and answers, named as on the wire. */
final class StoreMessages {
    private StoreMessages() {}

    record Appended(long offset, long end) {}

    @JsonInclude(JsonInclude.Include.NON_NULL)
    record Refused(String why, Long expected, Long end, Long first) {
        static Refused because(String why) {
            return new Refused(why, null, null, null);
        }

        static Refused otherEnd(long end) {
            return new Refused(null, null, end, null);
        }

        static Refused outOfSequence(long expected) {
            return new Refused("seq", expected, null, null);
        }

        static Refused deletedBefore(long first) {
            return new Refused(null, null, null, first);
        }
    }

    record Item(String key, byte[] value, long offset) {}

    record Page(List<Item> items, @JsonProperty("hasMore") boolean hasMore, long end) {}

    record Join(
            String group,
            String member,
            List<String> topics,
            @JsonProperty("ttlMs") long lifetimeMilliseconds,
            long generation) {}

    record Joined(long generation, List<List<Object>> parts) {}

    record Leave(String group, String member) {}

    record Commit(
            String group, String member, long generation, String topic, int part, long offset) {}

    record Trim(String topic, int part, long before) {}

    record Owners(List<List<Object>> owners) {}

    record Done() {}
}
