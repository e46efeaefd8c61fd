//! What operators do: questionnaire, proposal, acceptance, explanation.
