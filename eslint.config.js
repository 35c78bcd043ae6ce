import boundaries from 'eslint-plugin-boundaries'
import functional from 'eslint-plugin-functional'
import jsdoc from 'eslint-plugin-jsdoc'
import neostandard from 'neostandard'
import typescript from 'typescript-eslint'

const PURE_PACKAGES = ['protocol', 'document', 'membership', 'authority', 'entry', 'history']

const NAMESPACE_IMPORTS_ONLY = [
  {
    selector: 'ImportDeclaration > ImportSpecifier',
    message: 'Use a namespace import: import * as name from "module".'
  },
  {
    selector: 'ImportDeclaration > ImportDefaultSpecifier',
    message: 'Use a namespace import: import * as name from "module".'
  }
]

export default [
  { ignores: ['**/dist/**', '**/node_modules/**', 'out/**'] },
  ...neostandard({ ts: true }),
  jsdoc.configs['flat/contents-typescript-error'] ?? {},
  {
    files: ['packages/**/*.ts'],
    languageOptions: {
      parser: typescript.parser,
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname }
    },
    plugins: { '@typescript-eslint': typescript.plugin, functional, jsdoc },
    rules: {
      '@typescript-eslint/consistent-type-imports': ['error', { fixStyle: 'separate-type-imports' }],
      '@typescript-eslint/explicit-function-return-type': ['error', { allowExpressions: true }],
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': 'error',
      '@typescript-eslint/no-non-null-assertion': 'error',
      '@typescript-eslint/prefer-readonly': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': ['error', { considerDefaultExhaustiveForUnions: true }],
      'functional/prefer-property-signatures': 'error',
      'functional/readonly-type': ['error', 'generic'],
      'no-restricted-syntax': ['error', ...NAMESPACE_IMPORTS_ONLY],
      'max-lines': ['error', { max: 400, skipBlankLines: true }],
      complexity: ['error', 16]
    }
  },
  {
    files: ['packages/*/src/**/*.ts'],
    rules: {
      'functional/prefer-immutable-types': 'off',
      'functional/type-declaration-immutability': 'off',
      'jsdoc/require-jsdoc': ['error', {
        publicOnly: true,
        require: { FunctionDeclaration: true, ClassDeclaration: true },
        contexts: ['TSInterfaceDeclaration', 'TSTypeAliasDeclaration']
      }],
      'max-lines-per-function': ['error', { max: 80, skipBlankLines: true, skipComments: true }]
    }
  },
  {
    // The decision core takes messages, time and random numbers as arguments.
    files: PURE_PACKAGES.map((name) => `packages/${name}/src/**/*.ts`),
    rules: {
      'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'setImmediate', 'Date', 'fetch', 'performance', 'process'],
      'no-restricted-properties': ['error', { object: 'Math', property: 'random' }],
      'no-restricted-imports': ['error', { patterns: ['node:*', 'undici', 'hono', '@hono/*', 'ws', 'winston', 'hot-shots'] }]
    }
  },
  {
    files: ['packages/*/src/**/*.ts'],
    plugins: { boundaries },
    settings: {
      'import/resolver': { node: { extensions: ['.ts', '.js'] } },
      'boundaries/elements': [
        { type: 'core', pattern: `packages/(${PURE_PACKAGES.join('|')})`, mode: 'folder' },
        { type: 'adapter', pattern: 'packages/*', mode: 'folder' }
      ]
    },
    rules: {}
  }
]
