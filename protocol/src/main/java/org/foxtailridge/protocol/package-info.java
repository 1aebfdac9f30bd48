/** Inner messages between nodes; the classes of each concern are generated from its proto file. */
package org.foxtailridge.protocol;
