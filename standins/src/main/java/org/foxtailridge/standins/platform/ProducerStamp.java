package org.foxtailridge.standins.platform;

/**
 * Who appends, so that the store can refuse a former producer and repeats.
 *
 * @param producer name of the producer
 * @param epoch number that grows with each new life of the producer
 * @param sequence number of the append within the epoch
 */
record ProducerStamp(String producer, long epoch, long sequence) {}
