package org.foxtailridge.forwarding.node;

import org.foxtailridge.forwarding.configuration.ConfigurationDecoder;
import org.foxtailridge.forwarding.endpoint.AnnouncementDecoder;
import org.foxtailridge.forwarding.engine.EngineControl;
import org.foxtailridge.forwarding.http.RequestDialect;
import org.foxtailridge.forwarding.stream.KeyedLog;
import org.foxtailridge.membership.group.DutyGroup;

/** The systems around a node, in the product's own types. */
public interface OutsideWorld {
    /** Returns the log whose streams hold keyed records. */
    KeyedLog log();

    /** Returns the group that deals out duties. */
    DutyGroup duties();

    /** Returns what reads configurations. */
    ConfigurationDecoder configurations();

    /** Returns what reads announcements of endpoints. */
    AnnouncementDecoder announcements();

    /** Returns what asks and orders engines. */
    EngineControl engines();

    /** Returns the meaning of headers. */
    RequestDialect requests();
}
