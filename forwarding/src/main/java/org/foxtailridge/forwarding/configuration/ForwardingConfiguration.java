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
 * One version of the configuration that operators publish: routes, services, client accounts with
 * their API keys, and limits of callers. Immutable.
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

    /** Returns a builder for a configuration with the given version. */
    public static Builder builder(long version) {
        return new Builder(version);
    }

    /** Returns the version, which increases with each published configuration. */
    public long version() {
        return mVersion;
    }

    public CallerLimits callerLimits() {
        return mCallerLimits;
    }

    public List<ForwardingRoute> routes() {
        return mRoutes;
    }

    /** Returns the route with the longest matching path prefix of a host; empty if none matches. */
    public Optional<ForwardingRoute> route(String host, String target) {
        return mTable.find(host, target);
    }

    /** Returns the services, in no particular order. */
    public Collection<ForwardingService> services() {
        return mServices.values();
    }

    /** Returns the service with the given name; empty if there is none. */
    public Optional<ForwardingService> service(String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /** Returns the client accounts, in the order in which they were added. */
    public Collection<ForwardingAccount> accounts() {
        return mAccounts.values();
    }

    /** Returns whether there are client accounts, so that requests need API keys. */
    public boolean hasAccounts() {
        return !mAccounts.isEmpty();
    }

    /** Returns the client account with the given name; empty if there is none. */
    public Optional<ForwardingAccount> account(String name) {
        return Optional.ofNullable(mAccounts.get(name));
    }

    /** Returns the client account that an API key belongs to; empty if there is none. */
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

        /** Sets the limits of callers; {@link CallerLimits#DEFAULTS} by default. */
        public Builder callerLimits(CallerLimits limits) {
            mCallerLimits = Objects.requireNonNull(limits, "limits");
            return this;
        }

        /** Adds a route to those of its host. */
        public Builder route(ForwardingRoute route) {
            mRoutes.add(Objects.requireNonNull(route, "route"));
            return this;
        }

        /** Adds a service, replacing one of the same name. */
        public Builder service(ForwardingService service) {
            mServices.put(service.name(), service);
            return this;
        }

        /** Adds a client account with its API keys. */
        public Builder account(ForwardingAccount account, Collection<String> keys) {
            mAccounts.put(account.name(), account);
            keys.forEach(key -> mAccountsByKey.put(key, account));
            return this;
        }

        /** Builds an immutable configuration from what was added so far. */
        public ForwardingConfiguration build() {
            return new ForwardingConfiguration(this);
        }
    }
}
