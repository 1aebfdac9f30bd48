package org.foxtailridge.standins.server;

/** Answers one exchange, now or later. */
@FunctionalInterface
public interface ExchangeHandler {
    /**
     * Answers an exchange whose body has been read.
     *
     * @param exchange the exchange, which must be answered or cut once
     * @throws MalformedBodyException if the body can't be read; answered with status 400
     */
    void handle(Exchange exchange);
}
