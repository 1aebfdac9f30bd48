/** Stand-in of the platform's VM list, which lags behind. */
package org.foxtailridge.standins.vms;
