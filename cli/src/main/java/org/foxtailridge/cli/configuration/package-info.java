/** Commands about the operators' lists, and the reading and publishing that they share. */
package org.foxtailridge.cli.configuration;
