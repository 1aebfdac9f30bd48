/** Stand-in of a model engine: continuous batch, prefix cache, orders, load report and faults. */
package org.foxtailridge.standins.engine;
