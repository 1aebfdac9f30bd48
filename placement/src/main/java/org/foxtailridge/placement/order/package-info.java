/**
 * Orders to engines: their records in the log, the fold of these records, and the state machine of
 * the orders to one endpoint.
 */
package org.foxtailridge.placement.order;
