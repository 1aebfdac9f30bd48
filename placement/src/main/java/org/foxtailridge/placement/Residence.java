package org.foxtailridge.placement;

import com.google.common.collect.ImmutableListMultimap;
import java.util.List;
import org.foxtailridge.placement.engine.Artifact;
import org.foxtailridge.placement.engine.ArtifactKind;

/**
 * Which models and adapters are resident where, for routing. Immutable. Copies whose unload is on
 * record and copies on endpoints that don't answer are left out.
 */
public final class Residence {
    private final ImmutableListMultimap<String, ResidentCopy> mModels;
    private final ImmutableListMultimap<String, ResidentCopy> mAdapters;

    private Residence(Builder builder) {
        mModels = builder.mModels.build();
        mAdapters = builder.mAdapters.build();
    }

    /** Returns a builder without copies. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the copies of a model. */
    public List<ResidentCopy> model(String model) {
        return mModels.get(model);
    }

    /** Returns the copies of a model's adapter. */
    public List<ResidentCopy> adapter(String model, String adapter) {
        return mAdapters.get(adapterKey(model, adapter));
    }

    private static String adapterKey(String model, String adapter) {
        return model + ":" + adapter;
    }

    /** Builds a {@link Residence}. */
    public static final class Builder {
        private final ImmutableListMultimap.Builder<String, ResidentCopy> mModels =
                ImmutableListMultimap.builder();
        private final ImmutableListMultimap.Builder<String, ResidentCopy> mAdapters =
                ImmutableListMultimap.builder();

        private Builder() {}

        /** Adds an artifact that serves on an endpoint. */
        public Builder add(String endpoint, Artifact artifact) {
            ResidentCopy copy = new ResidentCopy(endpoint, artifact.version());
            if (artifact.kind() == ArtifactKind.MODEL) {
                mModels.put(artifact.name(), copy);
            } else {
                mAdapters.put(adapterKey(artifact.model(), artifact.name()), copy);
            }
            return this;
        }

        /** Returns the view. */
        public Residence build() {
            return new Residence(this);
        }
    }
}
