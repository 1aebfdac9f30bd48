package org.foxtailridge.forwarding.node;

import org.foxtailridge.forwarding.configuration.ConfigurationDecoder;
import org.foxtailridge.forwarding.endpoint.AnnouncementDecoder;
import org.foxtailridge.forwarding.engine.EngineControl;
import org.foxtailridge.forwarding.http.RequestDialect;
import org.foxtailridge.forwarding.stream.KeyedLog;
import org.foxtailridge.membership.group.DutyGroup;

/**
 * External systems that a node depends on: the platform's log, its group service, its engines and
 * the formats of its data. One implementation per platform adapts them to the types used here.
 */
public interface ExternalSystems {
    /** Returns the log that stores the keyed streams. */
    KeyedLog keyedLog();

    /** Returns the group service that assigns duties to nodes. */
    DutyGroup dutyGroup();

    /** Returns the decoder for records of the configuration stream. */
    ConfigurationDecoder configurationDecoder();

    /** Returns the decoder for records of the endpoint stream. */
    AnnouncementDecoder announcementDecoder();

    /** Returns the client for reports of engines and placement orders to them. */
    EngineControl engineControl();

    /** Returns the dialect that reads and writes the headers of callers and endpoints. */
    RequestDialect requestDialect();
}
