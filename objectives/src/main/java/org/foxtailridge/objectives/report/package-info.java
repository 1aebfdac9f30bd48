/** The report on service-level burn: merging, burn rates, and its text, JSON and HTML forms. */
package org.foxtailridge.objectives.report;
