//! Files of the capacity page in the repository.

use std::path::{Path, PathBuf};

use marljunction_capacity::page::ScaleFigure;
use marljunction_capacity::Measured;
use serde_json::Value;

const PAGE: &str = "docs/CAPACITY.md";
const MEASURED: &str = "docs/capacity/measured.json";
const SCALE: &str = "docs/capacity/scale.json";

/// The folder that holds them.
pub struct Repository(PathBuf);

fn read(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

impl Repository {
    /// The repository that the working folder lies in.
    ///
    /// # Errors
    /// Where it lies in none.
    pub fn find() -> Result<Repository, String> {
        let here = std::env::current_dir().map_err(|e| e.to_string())?;
        let root = here.ancestors().find(|folder| folder.join("docs/architecture.md").exists());
        root.map(|root| Repository(root.to_owned())).ok_or_else(|| "run it inside the repository".into())
    }

    /// What was measured.
    ///
    /// # Errors
    /// Where the file can't be read.
    pub fn measured(&self) -> Result<Measured, String> {
        serde_json::from_str(&read(&self.0.join(MEASURED))?).map_err(|e| format!("{MEASURED}: {e}"))
    }

    /// Writes what was measured.
    ///
    /// # Errors
    /// Where the file can't be written.
    pub fn write_measured(&self, measured: &Measured) -> Result<(), String> {
        let text = serde_json::to_string_pretty(measured).map_err(|e| e.to_string())?;
        write(&self.0.join(MEASURED), &(text + "\n"))
    }

    /// The flat figures of the scale test; none where it has not been run.
    ///
    /// # Errors
    /// Where the file is there and can't be read.
    pub fn scale(&self) -> Result<Vec<ScaleFigure>, String> {
        let path = self.0.join(SCALE);
        if !path.exists() {
            return Ok(Vec::new());
        }
        let value: Value = serde_json::from_str(&read(&path)?).map_err(|e| format!("{SCALE}: {e}"))?;
        let fields = value.as_object().into_iter().flatten();
        let flat = fields.filter(|(_, value)| value.is_number() || value.is_string() || value.is_boolean());
        Ok(flat.map(|(name, value)| (name.clone(), value.to_string())).collect())
    }

    /// The page as it is.
    ///
    /// # Errors
    /// Where it can't be read.
    pub fn page(&self) -> Result<String, String> {
        read(&self.0.join(PAGE))
    }

    /// Writes the page.
    ///
    /// # Errors
    /// Where it can't be written.
    pub fn write_page(&self, page: &str) -> Result<(), String> {
        write(&self.0.join(PAGE), page)
    }
}
