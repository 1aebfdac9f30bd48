package org.foxtailridge.forwarding.node;

/**
 * Key of one adapter of one model on one engine.
 *
 * @param endpoint name of the engine
 * @param model name of the base model, qualified by its service, such as {@code scribe/base}
 * @param adapter name of the adapter
 */
record AdapterKey(String endpoint, String model, String adapter) {}
