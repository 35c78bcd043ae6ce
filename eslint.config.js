import jsdoc from 'eslint-plugin-jsdoc'
import neostandard from 'neostandard'
import typescript from 'typescript-eslint'

const PURE_PACKAGES = ['routing', 'rollout', 'protocol', 'document', 'membership', 'authority', 'entry', 'history']

const ADAPTER_PACKAGES = ['backing-services', 'gateway', 'standins', 'client', 'cli', 'daemon', 'load', 'system'].map((name) => `@persimmonhatch/${name}`)

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

const READ_ONLY_TYPES = [
  {
    selector: 'TSPropertySignature[readonly!=true]',
    message: 'Properties of types must be read-only: write "readonly" before the property.'
  },
  {
    selector: ':matches(TSInterfaceDeclaration, TSTypeAliasDeclaration) :not(TSTypeOperator) > TSArrayType',
    message: 'Array types must be read-only: write "readonly" before the array type.'
  }
]

const PLATFORM_IMPORTS = ['@persimmonhatch/platform', '@persimmonhatch/platform/*', '**/../platform/*']

const PLATFORM_NAMES = {
  selector: 'Literal[value=/^(x-(attempt-id|deadline-remaining|server-signature|expected-replica|api-key|tenant|token-usage|prompt-prefix|not-executed|replica-load)|op\\u002f.*|status\\u002f.*|servers\\u002f.*|.*kv-(key|range|watch|txn|lease|keep).*)$/i]',
  message: 'Headers, keys and calls of the users\' platform may be named only in platform/.'
}

export default [
  { ignores: ['**/dist/**', '**/node_modules/**', 'out/**', 'target/**', 'journal/**'] },
  ...neostandard({ ts: true }),
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    languageOptions: {
      parser: typescript.parser,
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname }
    },
    plugins: { '@typescript-eslint': typescript.plugin, jsdoc },
    rules: {
      '@typescript-eslint/consistent-type-imports': ['error', { fixStyle: 'separate-type-imports' }],
      '@typescript-eslint/explicit-function-return-type': ['error', { allowExpressions: true }],
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': 'error',
      '@typescript-eslint/no-non-null-assertion': 'error',
      '@typescript-eslint/prefer-readonly': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': ['error', { considerDefaultExhaustiveForUnions: true }],
      '@typescript-eslint/method-signature-style': ['error', 'property'],
      'no-restricted-syntax': ['error', ...NAMESPACE_IMPORTS_ONLY, ...READ_ONLY_TYPES],
      'max-lines': ['error', { max: 400, skipBlankLines: true }],
      complexity: ['error', 16]
    }
  },
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    rules: {
      'jsdoc/require-jsdoc': ['error', {
        publicOnly: true,
        require: { FunctionDeclaration: true, ClassDeclaration: true },
        contexts: ['TSInterfaceDeclaration', 'TSTypeAliasDeclaration']
      }],
      'max-lines-per-function': ['error', { max: 80, skipBlankLines: true, skipComments: true }]
    }
  },
  {
    // Packages must not import from platform/ or name the headers, keys and calls of the users' platform.
    files: ['packages/**/*.ts'],
    rules: {
      'no-restricted-imports': ['error', { patterns: PLATFORM_IMPORTS }],
      'no-restricted-syntax': ['error', ...NAMESPACE_IMPORTS_ONLY, ...READ_ONLY_TYPES, PLATFORM_NAMES]
    }
  },
  {
    // The core packages do no I/O: they receive messages, time and random numbers as arguments.
    files: PURE_PACKAGES.map((name) => `packages/${name}/src/**/*.ts`),
    rules: {
      'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'setImmediate', 'Date', 'fetch', 'performance', 'process'],
      'no-restricted-properties': ['error', { object: 'Math', property: 'random' }],
      'no-restricted-imports': ['error', { patterns: ['node:*', 'undici', 'hono', '@hono/*', 'ws', 'winston', 'hot-shots', ...ADAPTER_PACKAGES, ...PLATFORM_IMPORTS] }]
    }
  }
]
