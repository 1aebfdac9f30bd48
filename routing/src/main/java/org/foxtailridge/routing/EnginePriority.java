package org.foxtailridge.routing;

import org.foxtailridge.configuration.model.WorkClass;

/** Mapping of work classes to the request priorities of engines: 0 is the highest, 9 the lowest. */
public final class EnginePriority {
    private static final int INTERACTIVE_PRIORITY = 0;
    private static final int MUST_COMPLETE_PRIORITY = 4;
    private static final int DUE_BY_PRIORITY = 8;

    private EnginePriority() {}

    /** Returns the priority of a work class. */
    public static int of(WorkClass workClass) {
        return switch (workClass) {
            case INTERACTIVE -> INTERACTIVE_PRIORITY;
            case MUST_COMPLETE -> MUST_COMPLETE_PRIORITY;
            case DUE_BY -> DUE_BY_PRIORITY;
        };
    }
}
