package org.clementinepost.node.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

final class SettingsReferenceTest {
  @Test
  void settingsPageMatchesGeneratedReference() throws IOException {
    String page = Files.readString(Path.of("../docs/SETTINGS.md"));
    assertThat(page.stripTrailing()).isEqualTo(SettingsReference.markdown().stripTrailing());
  }
}
