package org.foxtailridge.standins.engine;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;

/** Bodies of the calls about orders and KV handles. */
final class OrderMessages {
    private OrderMessages() {}

    enum Action {
        @JsonProperty("load_model")
        LOAD_MODEL,
        @JsonProperty("unload_model")
        UNLOAD_MODEL,
        @JsonProperty("load_adapter")
        LOAD_ADAPTER,
        @JsonProperty("unload_adapter")
        UNLOAD_ADAPTER,
        @JsonProperty("set_role")
        SET_ROLE;

        String kind() {
            boolean adapter = this == LOAD_ADAPTER || this == UNLOAD_ADAPTER;
            return adapter ? Resident.ADAPTER : Resident.MODEL;
        }
    }

    record Order(
            String orderId,
            long fencing,
            Action action,
            String name,
            String model,
            String version,
            long bytes,
            long workingBytes) {
        boolean isValid() {
            boolean named = orderId != null && action != null && name != null;
            boolean sized = bytes >= 0 && workingBytes >= 0;
            return named && sized && (action != Action.LOAD_ADAPTER || model != null);
        }

        Resident asResident() {
            String owner = action == Action.LOAD_ADAPTER ? model : null;
            return new Resident(action.kind(), name, owner, version, bytes, Resident.LOADING);
        }
    }

    record OrderState(
            String orderId,
            String state,
            @JsonInclude(JsonInclude.Include.NON_NULL) String reason) {
        static OrderState running(String orderId) {
            return new OrderState(orderId, "running", null);
        }

        static OrderState done(String orderId) {
            return new OrderState(orderId, "done", null);
        }

        static OrderState failed(String orderId, String reason) {
            return new OrderState(orderId, "failed", reason);
        }

        static OrderState unknown(String orderId) {
            return new OrderState(orderId, "unknown", null);
        }
    }

    record OldFencing(String reason, long highest) {}

    record NoMemory(String reason) {}

    record Answer(int status, Object body) {}

    record KvExport(String attemptId) {}

    record KvHandle(String handle, long bytes) {}
}
