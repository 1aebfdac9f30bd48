/**
 * Puts the tokens of one answer in order over attempts that break off, cross or come late.
 *
 * <p>{@link org.foxtailridge.execution.stream.AnswerStream} is the entry.
 */
package org.foxtailridge.execution.stream;
