package org.marjoramsail.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

final class CoreBoundaryTest {

  private static final JavaClasses CORE =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("org.marjoramsail.core");

  @Test
  void theCoreUsesNoNetworkFilesOrThreads() {
    noClasses()
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "io.vertx..", "io.netty..", "java.net..", "java.nio.file..", "org.slf4j..")
        .orShould()
        .dependOnClassesThat()
        .haveFullyQualifiedName("java.lang.Thread")
        .orShould()
        .dependOnClassesThat()
        .haveNameMatching("java\\.util\\.concurrent\\.(Executor.*|.*Executor|CompletableFuture)")
        .check(CORE);
  }

  @Test
  void theCoreUsesNoWallClockOrGlobalRandomness() {
    noClasses()
        .should()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(Math.class, "random")
        .orShould()
        .dependOnClassesThat()
        .haveFullyQualifiedName("java.util.concurrent.ThreadLocalRandom")
        .orShould()
        .dependOnClassesThat()
        .haveFullyQualifiedName("java.time.Clock")
        .check(CORE);
  }
}
