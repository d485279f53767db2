import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, noJsx: true, ignores: ['dist/**', 'target/**', 'node_modules/**', 'spec/**/*.c'] }),
  {
    files: ['**/*.ts'],
    rules: {
      '@typescript-eslint/consistent-type-imports': ['error', { fixStyle: 'separate-type-imports' }]
    }
  }
]
