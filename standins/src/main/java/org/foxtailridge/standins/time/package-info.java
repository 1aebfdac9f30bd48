/** Single-threaded execution with delays, in real time or advanced by tests. */
package org.foxtailridge.standins.time;
