package org.foxtailridge.routing;

import org.foxtailridge.configuration.model.WorkClass;

/** Priorities that engines are given; 0 is the most urgent, 9 the least. */
public final class EnginePriority {
    private static final int INTERACTIVE_PRIORITY = 0;
    private static final int MUST_COMPLETE_PRIORITY = 4;
    private static final int DUE_BY_PRIORITY = 8;

    private EnginePriority() {}

    /** Returns the priority of a class of work. */
    public static int of(WorkClass workClass) {
        return switch (workClass) {
            case INTERACTIVE -> INTERACTIVE_PRIORITY;
            case MUST_COMPLETE -> MUST_COMPLETE_PRIORITY;
            case DUE_BY -> DUE_BY_PRIORITY;
        };
    }
}
