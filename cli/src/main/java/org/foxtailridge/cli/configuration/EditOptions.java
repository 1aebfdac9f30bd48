package org.foxtailridge.cli.configuration;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.UUID;

/** Options of commands that read or change what is published. */
public final class EditOptions {
    @Required
    @Option(name = "--log", title = "ADDRESS", description = "Base address of the log service")
    private String mLog;

    @Option(
            name = "--author",
            title = "NAME",
            description = "Who makes the edit, kept with it (default operator)")
    private String mAuthor = "operator";

    /** Returns the base address of the log service. */
    public String log() {
        return mLog;
    }

    /** Returns who makes the edit. */
    public String author() {
        return mAuthor;
    }

    /** Returns a new identifier of an edit. */
    public String newEditId() {
        return UUID.randomUUID().toString();
    }
}
