/** Measures what counting and reporting of service-level burn cost. */
package org.foxtailridge.bench.objectives;
