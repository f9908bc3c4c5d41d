import neostandard, { resolveIgnoresFromGitignore } from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: [...resolveIgnoresFromGitignore(), '**/gen/**'] }),
  {
    rules: {
      'max-len': ['error', { code: 120, ignoreUrls: true, ignoreStrings: true, ignoreTemplateLiterals: true, ignoreRegExpLiterals: true }],
      'no-console': 'error',
      // `void` marks a promise whose failure is reported as an event.
      'no-void': ['error', { allowAsStatement: true }]
    }
  }
]
