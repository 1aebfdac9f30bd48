package org.foxtailridge.placement.plan;

/** One aim of the planner. Phases run in order of urgency and share the loads that are left. */
interface PlanPhase {
    void apply(Draft draft);
}
