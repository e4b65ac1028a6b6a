//! Arguments of the programs that run with a settings file.

use std::path;

use bpaf::Parser;
use bramleyshelf_lib::settings;

use crate::failure;

/// Settings file and overrides from the command line.
#[derive(Clone, Debug)]
pub struct SettingsArgs {
    /// Path of the settings file, in JSON.
    pub file: path::PathBuf,
    /// Overrides of the form `FIELD=VALUE`.
    pub overrides: Vec<String>,
}

/// Parses `--settings` and `--set`.
pub fn parser() -> impl Parser<SettingsArgs> {
    let file = bpaf::long("settings")
        .help("File with the settings of this process, in JSON")
        .argument::<path::PathBuf>("FILE");
    let overrides = bpaf::long("set")
        .help("Overrides one setting, for example `--set listen=10.0.0.4:7000`")
        .argument::<String>("FIELD=VALUE")
        .many();
    bpaf::construct!(SettingsArgs { file, overrides })
}

impl SettingsArgs {
    /// Reads the settings. `--set` overrides environment variables, which override the file. `fields`
    /// are the settings that an environment variable can override.
    ///
    /// # Errors
    /// Fails if the file cannot be read, an override is malformed or a setting is invalid.
    pub fn read<T: serde::de::DeserializeOwned>(
        &self,
        fields: &[&str],
    ) -> Result<T, failure::Failure> {
        let mut parsed = settings::env_overrides(fields);
        for text in &self.overrides {
            let Some((field, value)) = text.split_once('=') else {
                return Err(failure::Failure::Override { text: text.clone() });
            };
            let (field, value) = (field.to_owned(), value.to_owned());
            parsed.push(settings::Override { field, value });
        }
        Ok(settings::read(&self.file, &parsed)?)
    }
}
