package org.foxtailridge.forwarding.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * One version of everything that operators publish. Immutable.
 *
 * <pre>{@code
 * ForwardingConfiguration configuration =
 *         ForwardingConfiguration.builder(7)
 *                 .service(service)
 *                 .route(route)
 *                 .account(account, List.of("key"))
 *                 .build();
 * }</pre>
 */
public final class ForwardingConfiguration {
    private final long mVersion;
    private final CallerLimits mCallerLimits;
    private final List<ForwardingRoute> mRoutes;
    private final RouteTable mTable;
    private final Map<String, ForwardingService> mServices;
    private final Map<String, ForwardingAccount> mAccounts;
    private final Map<String, ForwardingAccount> mAccountsByKey;

    private ForwardingConfiguration(Builder builder) {
        mVersion = builder.mVersion;
        mCallerLimits = builder.mCallerLimits;
        mRoutes = List.copyOf(builder.mRoutes);
        mTable = new RouteTable(mRoutes);
        mServices = Map.copyOf(builder.mServices);
        mAccounts = new LinkedHashMap<>(builder.mAccounts);
        mAccountsByKey = Map.copyOf(builder.mAccountsByKey);
    }

    /** Returns a builder of a version. */
    public static Builder builder(long version) {
        return new Builder(version);
    }

    /** Returns the version; only grows. */
    public long version() {
        return mVersion;
    }

    /** Returns what a caller may send. */
    public CallerLimits callerLimits() {
        return mCallerLimits;
    }

    /** Returns all routes. */
    public List<ForwardingRoute> routes() {
        return mRoutes;
    }

    /** Returns the route of a host and path; empty when none matches. */
    public Optional<ForwardingRoute> route(String host, String target) {
        return mTable.find(host, target);
    }

    /** Returns all services. */
    public Collection<ForwardingService> services() {
        return mServices.values();
    }

    /** Returns a service by its name. */
    public Optional<ForwardingService> service(String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /** Returns all client accounts. */
    public Collection<ForwardingAccount> accounts() {
        return mAccounts.values();
    }

    /** Returns whether requests need keys at all. */
    public boolean hasAccounts() {
        return !mAccounts.isEmpty();
    }

    /** Returns a client account by its name. */
    public Optional<ForwardingAccount> account(String name) {
        return Optional.ofNullable(mAccounts.get(name));
    }

    /** Returns the client account that holds a key. */
    public Optional<ForwardingAccount> accountOfKey(String key) {
        return Optional.ofNullable(mAccountsByKey.get(key));
    }

    /** Builds a {@link ForwardingConfiguration}. */
    public static final class Builder {
        private final long mVersion;
        private CallerLimits mCallerLimits = CallerLimits.DEFAULTS;
        private final List<ForwardingRoute> mRoutes = new ArrayList<>();
        private final Map<String, ForwardingService> mServices = new HashMap<>();
        private final Map<String, ForwardingAccount> mAccounts = new LinkedHashMap<>();
        private final Map<String, ForwardingAccount> mAccountsByKey = new HashMap<>();

        private Builder(long version) {
            mVersion = version;
        }

        /** Sets what a caller may send. */
        public Builder callerLimits(CallerLimits limits) {
            mCallerLimits = Objects.requireNonNull(limits, "limits");
            return this;
        }

        /** Adds a route. */
        public Builder route(ForwardingRoute route) {
            mRoutes.add(Objects.requireNonNull(route, "route"));
            return this;
        }

        /** Adds a service. */
        public Builder service(ForwardingService service) {
            mServices.put(service.name(), service);
            return this;
        }

        /** Adds a client account with its keys. */
        public Builder account(ForwardingAccount account, Collection<String> keys) {
            mAccounts.put(account.name(), account);
            keys.forEach(key -> mAccountsByKey.put(key, account));
            return this;
        }

        /** Returns the configuration. */
        public ForwardingConfiguration build() {
            return new ForwardingConfiguration(this);
        }
    }
}
