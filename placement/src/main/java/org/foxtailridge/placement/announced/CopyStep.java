package org.foxtailridge.placement.announced;

/**
 * A step of the plan.
 *
 * @param engine engine that is to load or unload
 * @param load whether to load; otherwise to unload
 * @param model name of the model
 * @param wanted model that the step is for; the same for a load
 */
record CopyStep(EngineState engine, boolean load, String model, String wanted) {}
