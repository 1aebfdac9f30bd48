/** What nodes ask of model engines beside requests: reports and orders. */
package org.foxtailridge.forwarding.engine;
