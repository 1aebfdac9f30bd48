package org.foxtailridge.configuration.list;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Objects;

/** Example list files that come with the product. */
public enum ExampleLists {
    /** Two client accounts, two models, two plain services; no endpoints and no keys. */
    QUICKSTART("quickstart.toml"),
    /** Three data centres, 6 engines, 13 models, 55 adapters, 5 client accounts. */
    VITI_STONE("viti-stone.toml"),
    /** Three data centres, 13 engines, 20 models, 115 adapters, 5 client accounts. */
    VOZ_QUETZAL("voz-quetzal.toml");

    private static final String FOLDER = "/examples/";

    private final String mFile;

    ExampleLists(String file) {
        mFile = file;
    }

    /** Returns the name of the file. */
    public String file() {
        return mFile;
    }

    /** Returns the contents of the file. */
    public String text() {
        String resource = FOLDER + mFile;
        try (InputStream stream = ExampleLists.class.getResourceAsStream(resource)) {
            Objects.requireNonNull(stream, resource);
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
    }

    /** Returns the lists of the file. */
    public ConfigurationList read() {
        return ConfigurationList.read(mFile, text());
    }
}
