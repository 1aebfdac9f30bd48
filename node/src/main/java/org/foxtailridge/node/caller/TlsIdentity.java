package org.foxtailridge.node.caller;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.attribute.FileTime;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyStore;
import java.security.PrivateKey;
import java.security.cert.Certificate;
import java.security.cert.CertificateFactory;
import java.security.spec.PKCS8EncodedKeySpec;
import java.util.Base64;
import java.util.Collection;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.foxtailridge.node.settings.TlsFiles;

/** Certificate chain and private key, read from PEM files. */
final class TlsIdentity {
    private static final String ALIAS = "callers";
    private static final char[] NO_PASSWORD = new char[0];
    private static final String[] KEY_ALGORITHMS = {"RSA", "EC", "Ed25519"};

    private final TlsFiles mFiles;
    private FileTime mLastRead;

    TlsIdentity(TlsFiles files) {
        mFiles = files;
    }

    /** Reads the files and hands the identity to the TLS context. */
    void applyTo(SslContextFactory.Server tls) {
        try {
            mLastRead = lastChanged();
            tls.setKeyStore(keyStore());
            tls.setKeyStorePassword(new String(NO_PASSWORD));
        } catch (IOException | GeneralSecurityException failure) {
            throw new IllegalStateException(
                    "expected a certificate and key in PEM in "
                            + mFiles.certificate()
                            + " and "
                            + mFiles.key(),
                    failure);
        }
    }

    /** Returns whether either file has changed since it was read. */
    boolean hasChanged() throws IOException {
        return lastChanged().compareTo(mLastRead) > 0;
    }

    private FileTime lastChanged() throws IOException {
        FileTime certificate = Files.getLastModifiedTime(mFiles.certificate());
        FileTime key = Files.getLastModifiedTime(mFiles.key());
        return certificate.compareTo(key) > 0 ? certificate : key;
    }

    private KeyStore keyStore() throws IOException, GeneralSecurityException {
        KeyStore store = KeyStore.getInstance("PKCS12");
        store.load(null, NO_PASSWORD);
        store.setKeyEntry(ALIAS, privateKey(), NO_PASSWORD, chain());
        return store;
    }

    private Certificate[] chain() throws IOException, GeneralSecurityException {
        byte[] pem = Files.readAllBytes(mFiles.certificate());
        Collection<? extends Certificate> certificates =
                CertificateFactory.getInstance("X.509")
                        .generateCertificates(new ByteArrayInputStream(pem));
        return certificates.toArray(new Certificate[0]);
    }

    private PrivateKey privateKey() throws IOException, GeneralSecurityException {
        String pem = Files.readString(mFiles.key());
        String body = pem.replaceAll("-----[A-Z ]+-----", "").replaceAll("\\s", "");
        PKCS8EncodedKeySpec encoded = new PKCS8EncodedKeySpec(Base64.getDecoder().decode(body));
        GeneralSecurityException last = null;
        for (String algorithm : KEY_ALGORITHMS) {
            try {
                return KeyFactory.getInstance(algorithm).generatePrivate(encoded);
            } catch (GeneralSecurityException unfit) {
                last = unfit;
            }
        }
        throw last;
    }
}
