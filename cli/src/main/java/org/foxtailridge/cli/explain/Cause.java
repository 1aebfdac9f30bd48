package org.foxtailridge.cli.explain;

/**
 * Why a request ended as it did.
 *
 * @param outcome how it ended
 * @param reason why, in a sentence
 * @param lookAt where to look next; empty when nothing is left to ask
 */
record Cause(String outcome, String reason, String lookAt) {}
