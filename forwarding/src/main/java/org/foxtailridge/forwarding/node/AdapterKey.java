package org.foxtailridge.forwarding.node;

/**
 * An adapter on an engine.
 *
 * @param endpoint name of the engine
 * @param model model of the adapter, with its service
 * @param adapter name of the adapter
 */
record AdapterKey(String endpoint, String model, String adapter) {}
