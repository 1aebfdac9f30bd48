/**
 * Control of model engines, the endpoints of services with models, apart from requests: load
 * reports and placement orders.
 *
 * <p>The entry is {@link org.foxtailridge.forwarding.engine.EngineControl}.
 */
package org.foxtailridge.forwarding.engine;
