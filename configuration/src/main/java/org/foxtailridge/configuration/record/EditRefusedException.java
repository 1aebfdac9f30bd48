package org.foxtailridge.configuration.record;

import java.util.List;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** An edit was refused because its result would be invalid. */
public final class EditRefusedException extends FoxtailridgeException {
    /** Creates the failure of an edit from the reasons for its refusal. */
    public EditRefusedException(String id, List<String> reasons) {
        super(
                ErrorKind.CONFIGURATION_INVALID,
                "edit " + id + " was refused: " + String.join("; ", reasons));
    }
}
