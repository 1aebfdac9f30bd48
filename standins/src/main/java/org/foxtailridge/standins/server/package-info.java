/**
 * The HTTP server that all stand-ins share: routing of one exchange, JSON, cut and held
 * connections.
 */
package org.foxtailridge.standins.server;
