package org.foxtailridge.node.settings;

import java.nio.file.Path;

/**
 * Files of a TLS identity.
 *
 * @param certificate certificate chain in PEM
 * @param key private key in PEM
 */
public record TlsFiles(Path certificate, Path key) {}
