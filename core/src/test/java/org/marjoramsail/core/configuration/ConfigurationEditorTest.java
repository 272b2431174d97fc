package org.marjoramsail.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marjoramsail.core.configuration.SampleConfiguration.change;
import static org.marjoramsail.core.configuration.SampleConfiguration.configuration;
import static org.marjoramsail.core.configuration.SampleConfiguration.delete;
import static org.marjoramsail.core.configuration.SampleConfiguration.put;
import static org.marjoramsail.core.configuration.SampleConfiguration.rule;
import static org.marjoramsail.core.configuration.SampleConfiguration.upstream;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.configuration.ConfigurationProblem.Kind;

final class ConfigurationEditorTest {

  @Test
  void aValidChangeMakesTheNextRevisionAndKeepsTheOrderOfObjects() {
    EditResult result =
        ConfigurationEditor.apply(
            configuration(),
            change(
                "o1",
                put(upstream("lector-1", 9101, "lector")),
                put(upstream("lector-3", 9003, "lector")),
                delete(ObjectKind.ORGANISATION, "rosario")));

    Configuration edited = ((EditResult.Edited) result).configuration();
    assertThat(edited.revision()).isEqualTo(8);
    assertThat(edited.upstreams())
        .extracting(upstream -> upstream.name() + ":" + upstream.port())
        .containsExactly("lector-1:9101", "lector-2:9002", "lector-3:9003");
    assertThat(edited.organisations()).isEmpty();
  }

  @Test
  void allProblemsOfAChangeAreReportedTogetherWithTheNearestName() {
    EditResult result =
        ConfigurationEditor.apply(
            configuration(),
            change(
                "o1",
                put(upstream("lector-3", 0, "lectro")),
                put(upstream("lector-4", 9002, "lector")),
                put(rule("late", 0)),
                delete(ObjectKind.RULE, "filing")));

    List<ConfigurationProblem> problems = ((EditResult.Invalid) result).problems();
    assertThat(problems)
        .extracting(problem -> problem.kind() + " " + problem.object() + " " + problem.field())
        .containsExactlyInAnyOrder(
            "UNKNOWN_REFERENCE rule/filing ",
            "UNKNOWN_REFERENCE upstream/lector-3 service",
            "BAD_VALUE upstream/lector-3 port",
            "DUPLICATE upstream/lector-4 address",
            "BAD_VALUE rule/late deadlineMillis",
            "BAD_VALUE rule/late firstTokenTargetMillis");
    assertThat(problems)
        .extracting(ConfigurationProblem::message)
        .contains(
            "upstream/lector-3, service: \"lectro\" is not allowed; allowed: the name of a service"
                + " that exists. Did you mean \"lector\"?");
    assertThat(problems.get(0).nearest()).contains("filings");
  }

  @Test
  void aReferencedObjectCannotBeDeleted() {
    EditResult result =
        ConfigurationEditor.apply(
            configuration(), change("o1", delete(ObjectKind.SERVICE, "lector")));

    assertThat(((EditResult.Invalid) result).problems())
        .extracting(ConfigurationProblem::kind)
        .containsOnly(Kind.STILL_REFERENCED)
        .hasSize(4);
  }

  @Test
  void aChangeCannotHaveTwoOperationsOnOneObject() {
    EditResult result =
        ConfigurationEditor.apply(
            configuration(),
            change("o1", put(rule("filings", 90_000)), delete(ObjectKind.RULE, "filings")));

    assertThat(((EditResult.Invalid) result).problems())
        .extracting(ConfigurationProblem::kind)
        .containsExactly(Kind.DUPLICATE);
  }

  @Test
  void theDifferenceOfTwoRevisionsListsFieldsAndConvertsOneIntoTheOther() {
    Configuration before = configuration();
    EditResult result =
        ConfigurationEditor.apply(
            before,
            change(
                "o1",
                put(rule("filings", 90_000)),
                put(upstream("lector-3", 9003, "lector")),
                delete(ObjectKind.UPSTREAM, "lector-1")));
    Configuration after = ((EditResult.Edited) result).configuration();

    ConfigurationDifference difference = ConfigurationDifference.between(before, after);

    assertThat(difference.keys())
        .extracting(ObjectKey::toString)
        .containsExactly("upstream/lector-3", "upstream/lector-1", "rule/filings");
    assertThat(difference.objects().get(2).fields())
        .containsExactly(
            new ConfigurationDifference.FieldDifference("deadlineMillis", "60000", "90000"));
    assertThat(
            ConfigurationEditor.applyUnchecked(before, difference.operations(), after.revision()))
        .isEqualTo(after);
  }

  @Test
  void aRestoredRevisionKeepsTheOrderOfItsRules() {
    // The first matching rule applies to a request. If a restored rule came last, an at-most-once
    // request could match a rule that allows repeats.
    Configuration old =
        ((EditResult.Edited)
                ConfigurationEditor.apply(
                    configuration(), change("o1", put(rule("all-others", 90_000)))))
            .configuration();
    Configuration current =
        ((EditResult.Edited)
                ConfigurationEditor.apply(old, change("o2", delete(ObjectKind.RULE, "filings"))))
            .configuration();

    EditResult result =
        ConfigurationEditor.apply(current, change("o3", new ConfigurationOperation.Restore(old)));

    Configuration restored = ((EditResult.Edited) result).configuration();
    assertThat(restored.revision()).isEqualTo(current.revision() + 1);
    assertThat(restored.rules()).isEqualTo(old.rules());
    assertThat(NearestName.of("zzz", List.of("filings"))).isEqualTo(Optional.empty());
  }
}
