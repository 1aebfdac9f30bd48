package org.foxtailridge.routing.internal;

/** Key of the index from what a request needs to the endpoints that have it. */
public sealed interface CandidateKey {
    /**
     * Endpoints on which a version of a model can serve.
     *
     * @param model name of the model
     * @param version version of the model
     */
    record ModelKey(String model, String version) implements CandidateKey {}

    /**
     * Endpoints on which any version of a model can serve.
     *
     * @param model name of the model
     */
    record AnyVersionKey(String model) implements CandidateKey {}

    /**
     * Endpoints onto which a model is being loaded.
     *
     * @param model name of the model
     */
    record LoadingKey(String model) implements CandidateKey {}

    /**
     * Endpoints on which an adapter can serve.
     *
     * @param model name of the model
     * @param adapter name of the adapter
     */
    record AdapterKey(String model, String adapter) implements CandidateKey {}

    /**
     * Endpoints of a pool of plain services.
     *
     * @param pool name of the pool
     */
    record PoolKey(String pool) implements CandidateKey {}
}
