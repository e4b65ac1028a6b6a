//! Arguments of the programs that run with a settings file.

use std::path;

use bpaf::Parser;
use bramleyshelf_lib::settings;

use crate::failure;

/// Where the settings are and what overrides them.
#[derive(Clone, Debug)]
pub struct SettingsArgs {
    /// The settings file.
    pub file: path::PathBuf,
    /// Overrides of the form `FIELD=VALUE`.
    pub set: Vec<String>,
}

/// Parses the arguments.
pub fn parser() -> impl Parser<SettingsArgs> {
    let file = bpaf::long("settings")
        .help("File with the settings of this process, in JSON")
        .argument::<path::PathBuf>("FILE");
    let set = bpaf::long("set")
        .help("Overrides one setting, for example `--set listen=10.0.0.4:7000`")
        .argument::<String>("FIELD=VALUE")
        .many();
    bpaf::construct!(SettingsArgs { file, set })
}

impl SettingsArgs {
    /// Reads the settings. A flag goes before an environment variable, which goes before the file.
    ///
    /// # Errors
    /// Fails if the file cannot be read or a setting has a fault.
    pub fn read<T: serde::de::DeserializeOwned>(
        &self,
        fields: &[&str],
    ) -> Result<T, failure::Failure> {
        let mut overrides = settings::env_overrides(fields);
        for text in &self.set {
            let Some((field, value)) = text.split_once('=') else {
                return Err(failure::Failure::Override { text: text.clone() });
            };
            let (field, value) = (field.to_owned(), value.to_owned());
            overrides.push(settings::Override { field, value });
        }
        Ok(settings::read(&self.file, &overrides)?)
    }
}
