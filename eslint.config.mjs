import neostandard, { resolveIgnoresFromGitignore } from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: [...resolveIgnoresFromGitignore(), '**/gen/**'] }),
  {
    rules: {
      'max-len': ['error', { code: 120, ignoreUrls: true, ignoreStrings: true, ignoreTemplateLiterals: true, ignoreRegExpLiterals: true }],
      'no-console': 'error',
      // `void` marks a promise that is not awaited because its failure is handled, for example as an event.
      'no-void': ['error', { allowAsStatement: true }]
    }
  }
]
