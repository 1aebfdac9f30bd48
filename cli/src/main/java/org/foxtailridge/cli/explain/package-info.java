/** Histories of requests, endpoints, client accounts, models and duties from the lines of nodes. */
package org.foxtailridge.cli.explain;
