package org.foxtailridge.forwarding.node;

import org.foxtailridge.forwarding.configuration.ConfigurationDecoder;
import org.foxtailridge.forwarding.endpoint.AnnouncementDecoder;
import org.foxtailridge.forwarding.engine.EngineControl;
import org.foxtailridge.forwarding.http.RequestDialect;
import org.foxtailridge.forwarding.stream.KeyedLog;
import org.foxtailridge.membership.group.DutyGroup;

/** The systems around a node, in the product's own types. */
public interface ExternalSystems {
    /** Returns the log whose streams hold keyed records. */
    KeyedLog keyedLog();

    /** Returns the group that deals out duties. */
    DutyGroup dutyGroup();

    /** Returns what reads configurations. */
    ConfigurationDecoder configurationDecoder();

    /** Returns what reads announcements of endpoints. */
    AnnouncementDecoder announcementDecoder();

    /** Returns what asks and orders engines. */
    EngineControl engineControl();

    /** Returns the meaning of headers. */
    RequestDialect requestDialect();
}
