//! `madderpoint identity`: checks SPIFFE identities against trust bundles.

use super::arguments::Format;
use super::error::{CommandError, CommandResult, FileProblem};
use clap::Subcommand;
use madderpoint_identity::{Bundle, Bundles, SpiffeId, jwt, x509};
use madderpoint_rules::time;
use rustls_pki_types::CertificateDer;
use rustls_pki_types::pem::PemObject;
use serde_json::json;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// Sub-commands of `madderpoint identity`.
#[derive(Subcommand)]
pub enum Command {
    /// Check a certificate chain (PEM, leaf first) or a JWT-SVID against trust bundles.
    #[command(
        after_help = "Example: madderpoint identity check caller.pem --bundle saha.example=bundle.json\n\
        Example: madderpoint identity check token.jwt --bundle saha.example=bundle.json --audience node"
    )]
    Check {
        /// File with the certificate chain or the token.
        file: PathBuf,
        /// Trust domain and the file with its bundle in SPIFFE format; can be repeated, once for
        /// each domain.
        #[arg(long, value_name = "DOMAIN=FILE", required = true)]
        bundle: Vec<String>,
        /// Expected audience of the token. With this option the file is read as a JWT-SVID.
        #[arg(long)]
        audience: Option<String>,
        /// Time for which validity is checked, as an RFC 3339 timestamp; the current time if not
        /// given.
        #[arg(long, value_name = "TIME")]
        at: Option<String>,
        /// Output format.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
}

impl Command {
    /// Runs the command.
    pub fn run(self) -> CommandResult {
        let Command::Check {
            file,
            bundle,
            audience,
            at,
            format,
        } = self;
        let bundles = read_bundles(&bundle)?;
        let now = match at {
            Some(text) => time::time(&text)
                .and_then(|t| u64::try_from(t).ok())
                .ok_or(CommandError::Time(text))?,
            None => SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |t| t.as_nanos() as u64),
        };
        let content = std::fs::read(&file).map_err(|e| CommandError::file(&file, e))?;
        let checked = match audience {
            Some(audience) => check_token(&content, &bundles, &audience, now),
            None => check_chain(&file, &content, &bundles, now)?,
        };
        let is_good = checked.is_ok();
        show(checked, format);
        Ok(is_good)
    }
}

/// Reads the bundles named by `DOMAIN=FILE` arguments.
fn read_bundles(arguments: &[String]) -> Result<Bundles, CommandError> {
    let mut bundles = Bundles::default();
    for argument in arguments {
        let (domain, path) = argument
            .split_once('=')
            .ok_or_else(|| CommandError::BundleArgument(argument.clone()))?;
        let domain = domain.parse().map_err(|e| CommandError::TrustDomain {
            domain: domain.to_owned(),
            problem: format!("{e}"),
        })?;
        let path = Path::new(path);
        let text = std::fs::read(path).map_err(|e| CommandError::file(path, e))?;
        let bundle = Bundle::read(&text)
            .map_err(|e| CommandError::file(path, FileProblem::Bundle(e.to_string())))?;
        bundles.offer(&domain, bundle);
    }
    Ok(bundles)
}

/// Result of a check: the proven identity and the Unix time in nanoseconds until which it is valid,
/// or the reason why the check failed.
type Checked = Result<(SpiffeId, u64), IdentityError>;

/// Reasons why a file does not prove an identity.
#[derive(Debug, Error)]
enum IdentityError {
    /// The token was rejected.
    #[error("{0}")]
    Token(jwt::JwtSvidError),
    /// The certificate chain was rejected.
    #[error("{0}")]
    Chain(x509::X509SvidError),
}

fn check_token(content: &[u8], bundles: &Bundles, audience: &str, now: u64) -> Checked {
    let token = String::from_utf8_lossy(content);
    jwt::check(token.trim(), bundles, &[audience], now, 0)
        .map(|proven| (proven.id, proven.not_after))
        .map_err(IdentityError::Token)
}

fn check_chain(
    file: &Path,
    content: &[u8],
    bundles: &Bundles,
    now: u64,
) -> Result<Checked, CommandError> {
    let chain = CertificateDer::pem_slice_iter(content)
        .collect::<Result<Vec<_>, _>>()
        .map_err(|e| CommandError::file(file, FileProblem::NotPem(format!("{e:?}"))))?;
    Ok(x509::check(&chain, bundles, x509::Role::Caller, now, 0)
        .map(|proven| (proven.id, proven.not_after))
        .map_err(IdentityError::Chain))
}

fn show(checked: Checked, format: Format) {
    let until = |nanos: u64| time::print_time(i64::try_from(nanos).unwrap_or(i64::MAX));
    match (checked, format) {
        (Ok((id, ends)), Format::Text) => println!("good: {id} until {}", until(ends)),
        (Err(why), Format::Text) => println!("refused: {why}"),
        (Ok((id, ends)), Format::Json) => {
            println!(
                "{}",
                json!({"good": true, "id": id.as_str(), "until": until(ends)})
            );
        }
        (Err(why), Format::Json) => println!("{}", json!({"good": false, "why": why.to_string()})),
    }
}
