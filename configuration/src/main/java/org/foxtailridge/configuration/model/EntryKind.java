package org.foxtailridge.configuration.model;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Kinds of entries in the operators' lists. */
public enum EntryKind {
    /** What a client account may use, at what rate and burst. */
    PLAN(Plan.class),
    /** A customer. */
    CLIENT_ACCOUNT(ClientAccount.class),
    /** A model that must stay reachable. */
    MODEL(Model.class),
    /** An adapter of a model. */
    ADAPTER(Adapter.class),
    /** A model engine or a worker of plain services. */
    ENDPOINT(Endpoint.class),
    /** A plain service with its routes. */
    SERVICE(Service.class),
    /** The hash of a caller's key. */
    KEY(CallerKey.class),
    /** A service-level objective. */
    OBJECTIVE(Objective.class),
    /** The limits of the weight store; there is one entry, named {@code default}. */
    WEIGHT_STORE(WeightStore.class);

    private final Class<? extends ConfigurationEntry> mEntryClass;

    EntryKind(Class<? extends ConfigurationEntry> entryClass) {
        mEntryClass = entryClass;
    }

    /** Returns the class of entries of this kind. */
    public Class<? extends ConfigurationEntry> entryClass() {
        return mEntryClass;
    }

    /** Returns the word used in records and in TOML tables, for example {@code client_account}. */
    @JsonValue
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the kind with the given word; empty when there is none. */
    public static Optional<EntryKind> ofWireName(String word) {
        return Arrays.stream(values()).filter(kind -> kind.wireName().equals(word)).findFirst();
    }

    /** Returns the kind of an entry. */
    public static EntryKind of(ConfigurationEntry entry) {
        for (EntryKind kind : values()) {
            if (kind.mEntryClass.isInstance(entry)) {
                return kind;
            }
        }
        throw new IllegalArgumentException("expected a listed kind but was " + entry.getClass());
    }
}
