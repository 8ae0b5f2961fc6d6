//! The keys and the QUIC configuration for mutual TLS between routers and sidecars.

use std::sync::Arc;

use compio::quic::{
    ClientConfig,
    ServerConfig,
    TransportConfig,
    VarInt,
    crypto::rustls::{
        NoInitialCipherSuite,
        QuicClientConfig,
        QuicServerConfig, //
    }, //
};
use derive_more::{
    Display,
    Error,
    From, //
};
use rcgen::{
    BasicConstraints,
    CertificateParams,
    DnType,
    ExtendedKeyUsagePurpose,
    IsCa,
    Issuer,
    KeyPair,
    KeyUsagePurpose, //
};
use rustls::{
    RootCertStore,
    crypto::ring,
    pki_types::{
        CertificateDer,
        PrivateKeyDer,
        pem::PemObject, //
    },
    server::{
        VerifierBuilderError,
        WebPkiClientVerifier, //
    }, //
};

use crate::settings::Keys;

/// The DNS name in the certificate of every process. The side that opens a link verifies it.
pub(super) const PEER_NAME: &str = "redwingyard";

/// The application protocol that both sides of a link negotiate (ALPN).
const ALPN_PROTOCOL: &[u8] = b"redwingyard/1";

/// The idle timeout of QUIC itself, after which it drops a connection without packets.
const MAX_IDLE_MS: u32 = 10_000;

/// Why keys cannot be used or generated.
#[derive(Debug, Display, Error, From)]
pub enum KeyError {
    /// A PEM text is malformed.
    #[display("malformed PEM text: {_0}")]
    Pem(rustls::pki_types::pem::Error),
    /// A certificate or a key is not valid.
    #[display("certificate or key not accepted: {_0}")]
    Tls(rustls::Error),
    /// No verifier of peers can be made from the certificate authority.
    #[display("authority not accepted: {_0}")]
    Authority(VerifierBuilderError),
    /// The TLS configuration lacks the cipher suite that QUIC's first packets need.
    #[display("cipher suite for QUIC missing: {_0}")]
    Suite(NoInitialCipherSuite),
    /// Keys or certificates could not be generated.
    #[display("cannot generate keys: {_0}")]
    Generate(rcgen::Error),
}

/// Generates a certificate authority for development, and with it the keys of one process for each
/// of `names`.
///
/// ```
/// let keys = redwingyard::shell::generate_keys(&["router-1", "sizer-1"])?;
/// assert_eq!(keys.len(), 2);
/// assert_eq!(keys[0].authority, keys[1].authority);
/// # Ok::<(), redwingyard::shell::KeyError>(())
/// ```
///
/// # Errors
///
/// Fails where random numbers of the operating system are missing or a key cannot be generated.
pub fn generate_keys(names: &[&str]) -> Result<Vec<Keys>, KeyError> {
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    params
        .distinguished_name
        .push(DnType::CommonName, "redwingyard development authority");
    let key = KeyPair::generate()?;
    let authority = params.self_signed(&key)?.pem();
    let issuer = Issuer::new(params, key);
    let issue = |name: &&str| {
        let mut params = CertificateParams::new(vec![PEER_NAME.to_owned()])?;
        params.distinguished_name.push(DnType::CommonName, *name);
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ClientAuth,
            ExtendedKeyUsagePurpose::ServerAuth,
        ];
        let key = KeyPair::generate()?;
        let certificate = params.signed_by(&key, &issuer)?.pem();
        Ok(Keys {
            authority: authority.clone(),
            certificate,
            key: key.serialize_pem(),
        })
    };
    names.iter().map(issue).collect()
}

/// Returns the configurations with which a process accepts and opens connections. Both sides verify
/// the certificate of the other.
///
/// TLS early data (0-RTT) stays disabled, because an attacker could replay it.
pub(super) fn quic_configs(keys: &Keys) -> Result<(ServerConfig, ClientConfig), KeyError> {
    let provider = Arc::new(ring::default_provider());
    let mut roots = RootCertStore::empty();
    roots.add(CertificateDer::from_pem_slice(keys.authority.as_bytes())?)?;
    let roots = Arc::new(roots);
    let chain = vec![CertificateDer::from_pem_slice(keys.certificate.as_bytes())?];
    let key = PrivateKeyDer::from_pem_slice(keys.key.as_bytes())?;
    let verifier =
        WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone()).build()?;
    let mut server = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.clone(), key.clone_key())?;
    server.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    let mut client = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)?;
    client.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    let mut server = ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(server)?));
    let mut client = ClientConfig::new(Arc::new(QuicClientConfig::try_from(client)?));
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(VarInt::from_u32(MAX_IDLE_MS).into()));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(1));
    transport.max_concurrent_uni_streams(VarInt::from_u32(0));
    let transport = Arc::new(transport);
    server.transport_config(transport.clone());
    client.transport_config(transport);
    Ok((server, client))
}
